"""The view of the fleet that each member keeps: who is believed to live, by whose word, how settled it is."""
