"""A proxy that serves prompts of widely varying length on shared engines."""
