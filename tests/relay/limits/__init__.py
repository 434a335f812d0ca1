"""Tests of named limits."""
