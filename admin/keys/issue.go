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
	// keyBytes is the number of random bytes in a key.
	keyBytes = 24
	// idBytes is the number of bytes of the key's hash that form its id.
	idBytes = 8
)

// IssueOptions holds the dependencies and flags of `key issue`.
type IssueOptions struct {
	Factory *cmdkit.Factory
	Write   cmdkit.WriteOptions
	Team    string
	JSON    bool
}

// NewCmdIssue returns the `key issue` command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdIssue(f *cmdkit.Factory, runF func(*IssueOptions) error) *cobra.Command {
	opts := &IssueOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "issue --team TEAM",
		Short: "Issue a key, which is printed once and stored only as a hash",
		Example: `  chestnutlatch key issue --team fundi
  chestnutlatch key issue --team fundi --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Team == "" {
				return &cmdkit.FlagError{Flag: "team", Hint: "no team given: pass the id of the team that the key is for"}
			}
			if runF != nil {
				return runF(opts)
			}
			return issueRun(cmd.Context(), opts)
		},
	}
	opts.Write.AddFlags(cmd)
	cmdkit.AddJSONFlag(cmd, &opts.JSON)
	cmd.Flags().StringVar(&opts.Team, "team", "", "id of the team that the key is for")
	return cmd
}

func issueRun(ctx context.Context, opts *IssueOptions) error {
	edit, err := cmdkit.NewEdit(ctx, opts.Factory, opts.Write)
	if err != nil {
		return err
	}
	key, rec, err := newKey(ident.Team(opts.Team))
	if err != nil {
		return err
	}
	if err := edit.Put(rec); err != nil {
		return err
	}
	if opts.Write.DryRun {
		return edit.Commit(ctx)
	}
	// The key is printed even if the change is not yet in force in every data
	// centre, because it cannot be printed later.
	err = edit.Commit(ctx)
	var notInForce *cmdkit.NotInForceError
	if err != nil && !errors.As(err, &notInForce) {
		return err
	}
	if opts.JSON {
		writeErr := opts.Factory.Streams.JSON(struct {
			ID  ident.Key `json:"id"`
			Key string    `json:"key"`
		}{rec.ID, key})
		return errors.Join(err, writeErr)
	}
	fmt.Fprintf(opts.Factory.Streams.Out, "%s\t%s\n", rec.ID, key)
	return err
}

// newKey generates a key. It returns the key itself and the record to store,
// which holds the key's SHA-256 hash and an id made from the hash.
func newKey(team ident.Team) (string, record.Key, error) {
	var random [keyBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", record.Key{}, errors.Wrap(err, "cannot read random bytes for the key")
	}
	key := base64.RawURLEncoding.EncodeToString(random[:])
	hash := sha256.Sum256([]byte(key))
	return key, record.Key{ID: ident.Key(hex.EncodeToString(hash[:idBytes])), Team: team, Hash: hash}, nil
}
