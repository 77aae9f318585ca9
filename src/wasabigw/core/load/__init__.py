"""Load of backend servers as balancers count it and relays sum it."""
