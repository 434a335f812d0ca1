"""Tests of engines."""
