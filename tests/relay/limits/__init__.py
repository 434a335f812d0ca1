"""Tests of announced rate limits."""
