"""Tests of the overload package."""
