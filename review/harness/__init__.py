"""Stand-ins for the platform, and runner of the host program, for the review's scripts.

Only the standard library is used. All addresses are loopback addresses with free ports.
"""
