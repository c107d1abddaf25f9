// The platform runs programs that are linked against the system's C library.

package main

import "C"
