"""The laboratory in virtual time: modelled holders, network, list and clients around real drivers."""
