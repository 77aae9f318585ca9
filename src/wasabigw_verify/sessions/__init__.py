"""Sessions: scripted runs of the two deployments of docs/design.md, section 1.2."""
