"""Settings and configuration: schema, loading and checks."""
