"""When and how often requests are sent again, by the relay and by callers."""
