"""Decision logic: one reducer over all events, with effects as data.

Nothing in this package does I/O, reads a clock or draws randomness. Times and
random bits arrive in events; everything to be done leaves as effects.
"""
