"""Registries that decorators fill, for behaviour that varies by name."""

from collections import UserDict


class Registry(UserDict):
    """A map from name to function, filled by a decorator."""

    def register(self, name):
        """Return a decorator that registers a function.

        Args:
          name: The name under which the function is found.
        Returns:
          A decorator that returns its function unchanged.
        Raises:
          ValueError: If the name is taken.
        """
        if name in self:
            raise ValueError(f'{name!r} is registered already')

        def decorate(function):
            self[name] = function
            return function

        return decorate
