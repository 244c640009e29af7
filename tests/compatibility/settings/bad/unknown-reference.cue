name: nothing
