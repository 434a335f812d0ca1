"""Helpers that start real processes and call them."""
