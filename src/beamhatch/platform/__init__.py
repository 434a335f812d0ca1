"""The adapter of the users' platform: its headers, calls, documents and settings, and nothing else.

No other package knows these names.
"""
