package rigs

import (
	"fmt"

	"github.com/spf13/cobra"

	"chestnutlatch/clock"
	"chestnutlatch/cmdkit"
	"chestnutlatch/trial"
)

// TrialOptions are the flags of the commands under `standin trial`.
type TrialOptions struct {
	Streams cmdkit.Streams
	Seed    uint64
	Seeds   int
}

// NewCmdTrial returns the `standin trial` command.
func NewCmdTrial(s cmdkit.Streams) *cobra.Command {
	cmd := &cobra.Command{Use: "trial COMMAND", Short: "Measure the decision packages on simulated faults and traffic, without I/O"}
	cmd.AddCommand(newCmdTrial(s, "detect", "Compare the failure detectors", detectRun), newCmdTrial(s, "rate", "Compare methods of limiting a team's rate", rateRun),
		newCmdTrial(s, "fair", "Compare methods of sharing a full target among teams", fairRun),
		newCmdTrial(s, "rush", "Compare methods of sharing an overloaded service", rushRun))
	return cmd
}

// newCmdTrial returns the command of one trial.
func newCmdTrial(s cmdkit.Streams, name, short string, run func(*TrialOptions) error) *cobra.Command {
	opts := &TrialOptions{Streams: s}
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  standin trial " + name + " --seed 1 --seeds 5",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return run(opts) },
	}
	cmd.Flags().Uint64Var(&opts.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&opts.Seeds, "seeds", 5, "number of seeds")
	return cmd
}

// detectRun prints a row for each site, script and detector: the longest detection
// time over the seeds, in milliseconds, and the sums of the counts.
func detectRun(opts *TrialOptions) error {
	header := []string{"site", "script", "detector", "detected", "worst_ms", "false_ejections", "hurt", "ejections"}
	var rows [][]string
	for _, site := range trial.Sites {
		for _, script := range trial.FaultScripts {
			for _, d := range trial.Detectors {
				var sum trial.Detection
				detections := 0
				for i := range opts.Seeds {
					run := trial.RunDetection(site, script, d.New, opts.Seed+uint64(i))
					if run.Detected {
						detections++
					}
					sum.Delay = max(sum.Delay, run.Delay)
					sum.FalseEjections += run.FalseEjections
					sum.AffectedRequests += run.AffectedRequests
					sum.Ejections += run.Ejections
				}
				detected := "-"
				if script.IsFault {
					detected = fmt.Sprintf("%d/%d", detections, opts.Seeds)
				}
				rows = append(rows, []string{
					site.Name, script.Name, d.Name, detected, fmt.Sprint(int64(sum.Delay)),
					fmt.Sprint(sum.FalseEjections), fmt.Sprint(sum.AffectedRequests), fmt.Sprint(sum.Ejections),
				})
			}
		}
	}
	return opts.Streams.Table(header, rows)
}

// rateRun prints a row for each traffic pattern and method: sums over the seeds, and
// the lowest result of a team.
func rateRun(opts *TrialOptions) error {
	methods := []struct {
		name string
		make func() trial.RateLimiter
	}{{"equal split", trial.NewEqualSplitLimiter}, {"drawn tokens", trial.NewDrawLimiter}}
	var rows [][]string
	for _, pattern := range trial.DemandPatterns {
		for _, method := range methods {
			sum := trial.RateResult{WorstTeam: 1}
			for i := range opts.Seeds {
				run := trial.RunRateLimit(pattern, method.make(), opts.Seed+uint64(i))
				sum.Sent += run.Sent
				sum.WronglyRefused += run.WronglyRefused
				sum.AdmittedOverLimit += run.AdmittedOverLimit
				sum.Draws += run.Draws
				sum.Waited += run.Waited
				sum.DrawsToOtherRegions += run.DrawsToOtherRegions
				sum.WorstTeam = min(sum.WorstTeam, run.WorstTeam)
			}
			rows = append(rows, []string{
				pattern.Name, method.name, fmt.Sprint(sum.Sent),
				fmt.Sprintf("%.2f%%", 100*float64(sum.WronglyRefused)/float64(sum.Sent)),
				fmt.Sprintf("%.3f", sum.WorstTeam), fmt.Sprint(sum.AdmittedOverLimit),
				fmt.Sprintf("%.3f", float64(sum.Draws)/float64(sum.Sent)),
				fmt.Sprintf("%.2f%%", 100*float64(sum.Waited)/float64(sum.Sent)),
				fmt.Sprintf("%.2f%%", 100*float64(sum.DrawsToOtherRegions)/float64(sum.Sent)),
			})
		}
	}
	header := []string{"pattern", "way", "sent", "wrongly_refused", "worst_team", "over", "draws_per_request", "waited", "waited_far"}
	return opts.Streams.Table(header, rows)
}

// fairRun prints a row for each method and seed.
func fairRun(opts *TrialOptions) error {
	methods := []struct {
		name string
		make func() trial.Scheduler
	}{{"order of arrival", trial.NewFIFOScheduler}, {"shared by team and priority", trial.NewQueueScheduler}}
	var rows [][]string
	for _, method := range methods {
		for i := range opts.Seeds {
			r := trial.RunFairness(method.make(), opts.Seed+uint64(i))
			rows = append(rows, []string{
				method.name, fmt.Sprint(opts.Seed + uint64(i)), fmt.Sprintf("%.2f", r.WorstTeam),
				fmt.Sprintf("%.2f / %.2f / %.2f", r.Served[2], r.Served[1], r.Served[0]),
				fmt.Sprintf("%d / %d / %d", r.Wait[2], r.Wait[1], r.Wait[0]),
			})
		}
	}
	header := []string{"way", "seed", "worst_team", "served high / normal / low", "wait_ms high / normal / low"}
	return opts.Streams.Table(header, rows)
}

// rushRun prints a row for each overload pattern and policy: means over the seeds,
// and the lowest of each worst value.
func rushRun(opts *TrialOptions) error {
	var rows [][]string
	for _, pattern := range trial.OverloadPatterns {
		for _, policy := range trial.OverloadPolicies {
			summary := trial.OverloadResult{WorstKind: 1, WorstTeam: 1, WorstWindow: 1}
			n := float64(opts.Seeds)
			for i := range opts.Seeds {
				run := trial.RunOverload(pattern, policy, opts.Seed+uint64(i))
				summary.Earned += run.Earned / n
				summary.FirstRank += run.FirstRank / n
				summary.Refused += run.Refused / n
				summary.Wait += run.Wait / clock.Millis(opts.Seeds)
				summary.WorstKind = min(summary.WorstKind, run.WorstKind)
				summary.WorstTeam = min(summary.WorstTeam, run.WorstTeam)
				summary.WorstWindow = min(summary.WorstWindow, run.WorstWindow)
			}
			rows = append(rows, []string{
				pattern.Name, policy.Name, fmt.Sprintf("%.3f", summary.Earned), fmt.Sprintf("%.3f", summary.FirstRank),
				fmt.Sprintf("%.3f", summary.WorstKind), fmt.Sprintf("%.3f", summary.WorstTeam), fmt.Sprintf("%.3f", summary.WorstWindow),
				fmt.Sprintf("%.3f", summary.Refused), fmt.Sprint(int64(summary.Wait)),
			})
		}
	}
	header := []string{"pattern", "way", "earned", "first_rank", "worst_kind", "worst_team", "worst_2_s", "refused", "wait_ms"}
	return opts.Streams.Table(header, rows)
}
