package main

import _ "cobaltward/membership/xds"
