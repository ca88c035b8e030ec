"""Registries of named functions, filled by decorators."""

from collections import UserDict


class Registry(UserDict):
    """A map from names to functions, filled by a decorator."""

    def register(self, name):
        """Return a decorator that registers a function.

        Args:
          name: The function's name in the registry.
        Returns:
          A decorator that returns its function unchanged.
        Raises:
          ValueError: If the name is already registered.
        """
        if name in self:
            raise ValueError(f'{name!r} is already registered')

        def decorate(function):
            self[name] = function
            return function

        return decorate
