package main

// A SIGHUP that arrives before a command handles it must not end the process. Go leaves a signal ignored
// that was ignored when its runtime started, until signal.Notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C" // the platform requires programs to be linked against the C library
