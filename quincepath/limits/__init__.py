"""What is refused at the door, before the module hears of it: pure decisions on bounds."""
