"""The pure core of all processes in one event queue, with fakes at the interfaces."""
