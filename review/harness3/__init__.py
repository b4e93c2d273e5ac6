"""Stand-ins of the platform, the instances and the clients for the scripts of this review.

They use only the standard library, follow the users' pages, and share one event loop, so that the
order of what they see is known exactly.
"""
