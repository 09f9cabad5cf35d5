# Mutations of the dispatch logic, for tools/mutation-check.
#   perl mutations.pl          prints the names of all mutations; with --part=platform or --part=daemon, those of one program
#   perl mutations.pl NAME     applies one mutation to the source tree in the current directory
use strict;
use warnings;

# Each entry is a name, followed by one or more triples of file, original text and replacement. The original text must occur exactly
# once in the file. File paths are relative to src/; a file name without a folder is in src/controllers/.
# An entry whose first file has a folder belongs to the part "platform", every other entry to "daemon".
my @mutations = (
    ['claim-after-start',
     'claim_controller.cpp', "    const RowKey key = claimRowKey(name);\n    CommitOp op;",
     "    handler(ClaimHeld());\n    handler = [](const ClaimOutcome &) {};\n    const RowKey key = claimRowKey(name);\n    CommitOp op;"],
    ['claim-without-condition',
     'claim_controller.cpp', "    op.conditions.push_back(RowCondition{key, replaces});\n", "    (void)replaces;\n"],
    ['take-over-confirms',
     'request_controller.cpp', "if (!repeatable) {", "if (!repeatable && claim.row.durable) {"],
    ['retry-lost-confirm',
     'dispatch_controller.cpp', "if (!attempt.idempotent || job.failing ||", "if (job.failing ||",
     'dispatch_controller.cpp', "    assert(idempotent || (record.inFlight == 0 && record.answer.verdict == Verdict::NotRun));\n", ""],
    ['lost-is-not-run',
     'dispatch_controller.cpp', "task.answer.verdict = combine(task.answer.verdict, Verdict::MayHaveRun);", "",
     'dispatch_controller.cpp', "this->failTask(job, attempt.task, Verdict::MayHaveRun,", "this->failTask(job, attempt.task, Verdict::NotRun,"],
    ['no-fence-condition',
     'group_commit.cpp', "    transaction.conditions.push_back(RowCondition{fenceRowKey(this->board.identity.incarnation), RowVersion()});\n", ""],
    ['no-lease-check',
     'dispatch_controller.cpp', "if (job->authority == StartAuthority::DurableClaim && !this->lease.isHeld()) {\n        this->tasksAwaitingLease",
     "if (job->authority == StartAuthority::DurableClaim && false) {\n        this->tasksAwaitingLease"],
    ['adopt-before-lease-ends',
     'recovery_controller.cpp', "this->board.now + StartLeaseLength + StartLeaseDrift", "this->board.now"],
    ['adopter-repeats-confirms',
     'durable_controller.cpp', "if (!isIdempotent(this->board, job->spec.tasks[task].kind)) {",
     "if (!isIdempotent(this->board, job->spec.tasks[task].kind) && mark > job->tasks.size()) {"],
    ['mark-after-start',
     'durable_controller.cpp', "    op.onDone = [this, id = job.id, mark](const CommitResult &result) { this->onMarkMoved(id, mark, result); };\n",
     "    op.onDone = [this, id = job.id, mark](const CommitResult &result) { this->onMarkMoved(id, mark, result); };\n    this->jobs.start(job, mark);\n"],
    ['forget-used-keys',
     'key_controller.cpp', "    batch->used[index] = true;\n", ""],
    ['partial-answer',
     'job_controller.cpp', "if (job.ended < job.tasks.size() && !job.failing) {", "if (job.ended > job.tasks.size() && !job.failing) {"],
    ['failed-answer-with-outputs',
     'job_controller.cpp', "            answer->tasks.back().output = nullptr;\n", ""],
    ['lower-config-version',
     'config_controller.cpp', "if (config.version <= this->board.config.version) {", "if (config.version == this->board.config.version) {"],
    ['accept-config-early',
     'config_controller.cpp', "return !domains.empty() && std::all_of(domains.begin(), domains.end(), hasIt);",
     "return !domains.empty() && std::any_of(domains.begin(), domains.end(), hasIt);"],
    ['work-to-leaving-endpoint',
     'endpoint_controller.cpp', "const bool leaving = endpoint.leaving.any();", "const bool leaving = false;"],
    ['exit-with-jobs-held',
     'coordinator.cpp', "this->jobs.unanswered() == 0", "this->jobs.unanswered() < 1000"],
    ['refuse-after-start',
     'cells/cell_job.cpp', "this->startOrders == this->refusedStarts", "true"],
    ['acknowledge-before-stored',
     'cells/cell_dispatch.cpp', "awaitsStore ? std::optional(end.task.job) : std::nullopt", "std::nullopt"],
    ['acknowledge-before-recovery',
     'cells/cell_dispatch.cpp', "isStored && !this->isRecoverySettled", "isStored && false"],
    ['start-before-recovery',
     'cells/cell_leader.cpp', "if (!this->unlistedEndpoints.empty() && !areFormerLeasesExpired) {", "if (!this->unlistedEndpoints.empty() && areFormerLeasesExpired) {"],
    ['no-lead-condition',
     'cells/commit_chain.cpp', "    this->transaction.conditions.push_back({leadKey(this->cell), this->expectedVersion});\n", ""],
    ['accept-before-stored',
     'cells/cell_leader_jobs.cpp', "    this->pendingSubmissions.push_back({job, {call}});\n",
     "    this->answerSubmission(call, {SubmitVerdict::Accepted, {}, {}, {}});\n    this->pendingSubmissions.push_back({job, {}});\n"],
    ['start-while-a-run-may-be-there',
     'cells/cell_dispatch.cpp', "        if (this->hasRunOf(task)) {", "        if (this->hasRunOf(task) && false) {"],
    ['unanswered-start-is-forgotten',
     'cells/cell_dispatch.cpp', "        run.phase = RunPhase::Unconfirmed;\n        this->orderStop(now, *endpoint, task, run);\n        break;",
     "        this->dropRun(now, *endpoint, task, \"no-answer\");\n        break;"],
    ['lease-for-a-silent-endpoint',
     'cells/cell_dispatch.cpp', "!endpoint.runs.empty() && endpoint.consecutiveFailures == 0) {", "!endpoint.runs.empty()) {"],
    ['cancelled-runs-go-on',
     'cells/cell_leader_jobs.cpp', "        this->stopRuns(now, id);\n", ""],
    ['orders-after-a-standstill',
     'cells/cell_dispatch.cpp', "this->chain.confirmedAt() >= this->resumedAt && now <= this->advancedAt + SuspensionLimit", "true"],
    ['leader-denies-a-job',
     'node/node.cpp', "if (answer.kind == JobAnswer::Kind::NoSuchJob && !pending.cell.empty()) {",
     "if (answer.kind == JobAnswer::Kind::NoSuchJob && false) {"],
    ['refusal-after-an-offer',
     'node/node.cpp', "if (answer.verdict == SubmitVerdict::Refused && pending.mayHaveRun) {",
     "if (answer.verdict == SubmitVerdict::Refused && false) {"],
    ['answer-of-a-former-leader',
     'node/node_peers.cpp', "if (isFromFormerLeader && reply.answer.verdict != SubmitVerdict::Ended) {", "if (isFromFormerLeader && false) {"],
    ['lead-taken-back-at-once',
     'node/node_cells.cpp', "                view.isVacant = false; // A vacancy", "                // A vacancy"],
    ['caller-gone-and-runs-go-on',
     'node/node.cpp', "    if (pending.kind == PendingCall::Kind::Submission && pending.isAwaitingAnswer) {\n        this->withdraw(ownCall, pending);\n    }\n",
     "    (void)ownCall;\n"],
    ['link-dropped-unnoticed',
     'node/peer_bus.cpp', "            lost.push_back(link->first);\n", ""],
);

my %byName = map { $_->[0] => $_ } @mutations;
if (!@ARGV || $ARGV[0] =~ m{^--part=(.*)}) {
    my $part = @ARGV ? $1 : '';
    my @named = grep { $part eq '' || ($_->[1] =~ m{/}) == ($part eq 'platform') } @mutations;
    print join("\n", map { $_->[0] } @named), "\n";
    exit 0;
}
my $chosen = $byName{$ARGV[0]} or die "no mutation is named \"$ARGV[0]\"\n";
my ($name, @edits) = @$chosen;
while (my ($file, $text, $replacement) = splice(@edits, 0, 3)) {
    my $path = $file =~ m{/} ? "src/$file" : "src/controllers/$file";
    open(my $in, '<', $path) or die "$name: $path: $!\n";
    my $content = do { local $/; <$in> };
    close($in);
    my $count = () = $content =~ /\Q$text\E/g;
    die "$name: the original text occurs $count times in $path, expected once\n" if $count != 1;
    $content =~ s/\Q$text\E/$replacement/;
    open(my $out, '>', $path) or die "$name: $path: $!\n";
    print $out $content;
    close($out);
}
