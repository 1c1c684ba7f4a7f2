package main

import "C" // the platform asks for programs that are linked against the C library
