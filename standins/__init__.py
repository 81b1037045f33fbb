"""Small stand-ins for what surrounds the system: platform and upstreams."""
