package keys

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"chestnutlatch/cmdkit"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

const (
	keyBytes = 24
	idBytes  = 8
)

// IssueOptions are the dependencies and flags of `key issue`.
type IssueOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	Team    string
	JSON    bool
}

// NewCmdIssue returns the `key issue` command.
func NewCmdIssue(f *cmdkit.Factory, runF func(*IssueOptions) error) *cobra.Command {
	opts := &IssueOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "issue --team TEAM",
		Short: "Issue a key; it is shown once and stored only as a hash",
		Example: `  chestnutlatch key issue --team fundi
  chestnutlatch key issue --team fundi --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Team == "" {
				return &cmdkit.FlagError{Flag: "team", Remedy: "name the team that the key is for"}
			}
			if runF != nil {
				return runF(opts)
			}
			return issueRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	cmdkit.AddJSON(cmd, &opts.JSON)
	cmd.Flags().StringVar(&opts.Team, "team", "", "team that the key is for")
	return cmd
}

func issueRun(ctx context.Context, opts *IssueOptions) error {
	e, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	key, rec, err := newKey(ident.Team(opts.Team))
	if err != nil {
		return err
	}
	if err := e.Put(rec); err != nil {
		return err
	}
	if opts.Write.DryRun {
		return e.Commit(ctx)
	}
	// The key is shown even if the change is not yet in force everywhere,
	// since it cannot be shown again.
	err = e.Commit(ctx)
	var notYet *cmdkit.NotYetError
	if err != nil && !errors.As(err, &notYet) {
		return err
	}
	if opts.JSON {
		shown := opts.Factory.Streams.JSON(struct {
			ID  ident.Key `json:"id"`
			Key string    `json:"key"`
		}{rec.ID, key})
		return errors.Join(err, shown)
	}
	fmt.Fprintf(opts.Factory.Streams.Out, "%s\t%s\n", rec.ID, key)
	return err
}

func newKey(team ident.Team) (string, record.Key, error) {
	var b [keyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", record.Key{}, errors.Wrap(err, "read random bytes")
	}
	key := base64.RawURLEncoding.EncodeToString(b[:])
	sum := sha256.Sum256([]byte(key))
	return key, record.Key{ID: ident.Key(hex.EncodeToString(sum[:idBytes])), Team: team, Hash: sum}, nil
}
