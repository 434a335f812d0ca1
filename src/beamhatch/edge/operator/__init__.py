"""The admin API."""
