"""A randomized soak: real relays as processes, faults from outside, promises checked while it runs."""
