"""Flow decisions: routing at a balancer and admission at a home balancer."""
