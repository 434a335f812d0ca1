"""Logs, metrics and traces."""
