const configuration = [
	{ignores: ['dist/**']},
	{
		rules: {
			// It asks for a line break in an empty block, which unicorn/empty-brace-spaces forbids.
			'@stylistic/curly-newline': 'off',
		},
	},
	{
		files: ['demo/**', 'soak/**', 'measures/**', 'harness/**', 'src/daemon.ts', 'platform/main.ts'],
		rules: {
			// Programs that end with an exit code of their own.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['src/settings/router-settings.ts', 'platform/catalog-decoder.ts'],
		rules: {
			// The keys of settings files and of the platform's configuration have underscores.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default configuration;
