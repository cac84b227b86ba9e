"""Compares the answers that callers received with the runs that the stand-in backend servers recorded."""
import collections


def wrong_answers(cell):
    """Returns a line for each wrong answer that `cell` gave. Call it only after all work has ended."""
    check = _Check(cell)
    return [f"{request['id']} ({team}): {fault}; told {answer}" for team, request, answer in cell.answered
            if (fault := check.fault(team, request, answer))]


class _Check:
    def __init__(self, cell):
        self._key_runs = cell.stats()["keys"]
        self._runs = {team: self._by_request(cell, team) for team in {team for team, _, _ in cell.answered}}

    @staticmethod
    def _by_request(cell, team):
        tasks = collections.defaultdict(list)
        for task in cell.runs(team):
            tasks[task["request"]].append(task)
        return tasks

    def fault(self, team, request, answer):
        """Describes what is wrong with the answer, or returns None."""
        tasks = self._runs[team][request["id"]]
        if answer.get("id") not in (request["id"], None, ""):
            return "the answer belongs to another request"
        if answer.get("outcome") == "not_run" and tasks:
            return "the answer is not_run, but it ran"
        if answer.get("outcome") == "done" and not self._was_done(team, request, tasks):
            return "the answer is done, but it did not succeed"
        return None

    def _was_done(self, team, request, tasks):
        if "idempotency_key" in request:
            # Another request with this idempotency key may have run in place of this one.
            return self._key_runs.get(team, {}).get(request["idempotency_key"]) == 1
        return sum(task["succeeded"] > 0 for task in tasks) == request.get("task_count", 1)
