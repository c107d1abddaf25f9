// The import of "C" links the program dynamically against the system's C library,
// which the platform requires of the programs it runs.

package main

import "C"
