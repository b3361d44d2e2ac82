# Batches of messages between entry VMs in front of servers that vouch for what they did not run.
#
# Evolution: fields are only added, each with the next free number. A receiver drops a batch that it can't decode.

@0xb7a1d2c94e6f3805;

interface Exchange {
  # Where a VM takes messages in.

  deliver @0 (from :Text, incarnation :UInt64, batch :Data) -> ();
  # Messages of the VM `from`, in its start `incarnation`. The batch is a list of messages as `postcard` writes it.
  # The answer says that the batch was taken in, not that it was acted on.
}
