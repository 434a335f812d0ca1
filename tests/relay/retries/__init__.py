"""Tests of when and how often requests are sent again."""
