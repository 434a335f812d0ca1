"""Tests of the relay."""
