"""Measurements; nothing here is asserted by a test."""
