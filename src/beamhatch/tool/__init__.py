"""The operators' command-line tool."""
