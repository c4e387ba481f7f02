package dispatcher

import (
	"fmt"
	"time"

	"bronzedrift.example/bronzedrift/internal/recorder"
)

// cancel ends a job at its caller's request. The answer says how many of its
// tasks had ended, were running or had not started.
func (d *Dispatcher) cancel(now time.Time, j *job) {
	d.recordEvent(recorder.Event{Number: recorder.JobCancelled, Job: j.ID, Task: recorder.NoTask})
	d.fail(now, j, Cancelled, d.provenRan(j), fmt.Sprintf(
		"cancelled: of %d tasks %d had ended, %d were running and %d had not started",
		len(j.tasks), j.completedTasks, j.runningTasks, len(j.tasks)-j.completedTasks-j.runningTasks))
}
