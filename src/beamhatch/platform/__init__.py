"""Adapter for the hosting platform: its HTTP headers, API calls, documents and settings.

Names that the platform defines are used in this package only.
"""
