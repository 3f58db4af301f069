package e2e

import (
	"errors"

	"github.com/openai/openai-go/v3"
)

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(8),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("When does the sauna open?")},
	}
}

func asAPIError(err error, target **openai.Error) bool { return errors.As(err, target) }
