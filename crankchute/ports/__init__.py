"""What the core needs from outside, as abstract classes."""
