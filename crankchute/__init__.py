"""A serving layer for prompts of very unlike lengths on one engine fleet."""
