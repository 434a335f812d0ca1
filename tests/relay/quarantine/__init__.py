"""Tests of quarantine."""
