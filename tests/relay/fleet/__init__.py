"""Tests of fleet."""
