# The operators' settings that `run` names: machines can be drained (docs/drains.md).

drains {
  enabled = true

  # How many replicas of one service may be down when one is stopped by choice.
  replicas_per_service = 1

  # A team's own budget, for all its services, arrays and gangs together: so many
  # (`count`), or a share of the replicas that its services should have (`share`).
  # Without one, only the budgets of its services hold.
  #
  # team "orders" {
  #   count = 2
  # }
}
