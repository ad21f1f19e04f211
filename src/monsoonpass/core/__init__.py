"""Decision logic: a reducer that maps events to state changes and effects.

Nothing in this package does I/O, reads a clock or generates random numbers.
Times and random bits arrive in events; the runtime performs the effects.
"""
