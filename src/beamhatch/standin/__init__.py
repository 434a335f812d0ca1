"""Small stand-ins for the platform, engines, services and faulty links."""
