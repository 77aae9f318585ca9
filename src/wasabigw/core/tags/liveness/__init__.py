"""Whether backend servers, their hosts and failure domains are alive."""
