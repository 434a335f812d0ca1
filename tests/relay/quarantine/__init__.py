"""Tests of the quarantine package."""
