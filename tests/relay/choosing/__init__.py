"""Tests of choosing."""
